use super::assumptions::Assumptions;
use super::fit::{Curve, Series};
use super::number::number;
use super::ramp::{self, Sender};
use super::subset::{self, Choice, Region};
use super::*;

const SLOPES: &str = include_str!("../../../../docs/measurements/slopes.toml");
const ASSUMPTIONS: &str = include_str!("../../../../docs/measurements/assumptions.toml");
const PAGE: &str = include_str!("../../../../docs/CAPACITY.md");

fn series(points: &[[f64; 2]], curve: Curve) -> Series {
    Series {
        name: "s".into(),
        x: "lines".into(),
        unit: "us".into(),
        command: "c".into(),
        fixed: "f".into(),
        build: "b".into(),
        points: points.to_vec(),
        curve,
    }
}

fn block<'a>(blocks: &'a [Block], name: &str) -> &'a str {
    &blocks.iter().find(|block| block.name == name).unwrap().text
}

#[test]
fn page_matches_generated_tables_and_unmeasured_figures_are_marked() {
    let (list, known) = parse_assumptions(ASSUMPTIONS).unwrap();
    let printed = blocks(&list, &known, &parse_slopes(SLOPES).unwrap());
    let filled = fill_page(PAGE, &printed).unwrap();
    assert!(filled == PAGE, "`ironpaddle-lab capacity --page docs/CAPACITY.md` brings the page up to date");
    let measured = parse_slopes("[[series]]\nname='part-cpu-before'\nx='x'\nunit='us'\ncommand='c'\nfixed='f'\nbuild='b'\npoints=[[100,1000],[1000,10000]]").unwrap();
    let other = blocks(
        &list,
        &Assumptions { aggregators: 40.0, run_stores: 600.0, queries_per_s: 8000.0, ..known },
        &measured,
    );
    let part = block(&other, "part");
    assert!(part.contains("| 28,000 a second | assumptions |"), "{part}");
    assert!(part.contains("| 0.28 cores | `part-cpu-before`, extrapolated 28 times, error 0 % |"), "{part}");
    assert!(part.contains("a second, now | not measured | - |"), "{part}");
    assert!(block(&other, "connections").contains("| 24,000 connections | assumptions |"));
    assert!(block(&other, "missing").lines().last().unwrap().contains("not measured"));
}

#[test]
fn page_without_markers_or_with_unknown_markers_is_rejected() {
    let blocks = [Block { name: "one", text: "| 1 |\n".into() }];
    let page = "a\n<!-- table: one -->\nold\n<!-- end of one -->\nb\n";
    assert_eq!(
        fill_page(page, &blocks).unwrap(),
        "a\n<!-- table: one -->\n\n| 1 |\n\n<!-- end of one -->\nb\n"
    );
    assert!(fill_page("a\n", &blocks).unwrap_err().contains("no marks for the table one"));
    let more = format!("{page}<!-- table: two -->\n");
    assert!(fill_page(&more, &blocks).unwrap_err().contains("<!-- table: two -->"));
}

#[test]
fn fit_recovers_the_line_of_its_points_and_reports_its_error() {
    let exact = series(&[[0.0, 3.0], [10.0, 23.0], [1000.0, 2003.0]], Curve::Line).fit().unwrap();
    assert!((exact.slope - 2.0).abs() < 1e-9 && (exact.intercept - 3.0).abs() < 1e-9, "{exact:?}");
    assert!(exact.rms < 1e-9 && exact.range == (0.0, 1000.0));
    assert!((exact.at(20.0) - 43.0).abs() < 1e-9);
    assert_eq!([exact.extrapolation(10.0), exact.extrapolation(5000.0)], [1.0, 5.0]);
    let square = series(&[[1.0, 3.0], [2.0, 9.0], [3.0, 19.0]], Curve::Square).fit().unwrap();
    assert!((square.at(100.0) - 20_001.0).abs() < 1e-6, "{square:?}");
    // The two points at x = 1 give 1.2, which minimizes the squared relative residuals: 0.2 and 0.4.
    let rough = series(&[[1.0, 1.0], [1.0, 2.0], [2.0, 4.0]], Curve::Line).fit().unwrap();
    assert!((rough.at(1.0) - 1.2).abs() < 1e-9 && (rough.at(2.0) - 4.0).abs() < 1e-9, "{rough:?}");
    assert!((rough.max_error - 0.4).abs() < 1e-9, "{rough:?}");
    assert!((rough.rms - ((0.04 + 0.16) / 3.0f64).sqrt()).abs() < 1e-9, "{rough:?}");
}

#[test]
fn invalid_files_are_rejected_with_the_reason() {
    let one = |points: &str| {
        format!(
            "[[series]]\nname='a'\nx='x'\nunit='us'\ncommand='c'\nfixed='f'\nbuild='b'\npoints={points}\n"
        )
    };
    let why = |text: &str| parse_slopes(text).map(|_| ()).unwrap_err();
    assert!(why(&one("[[1, 2]]")).contains("series a: a line needs points at two values"));
    assert!(why(&one("[[1, 2], [2, 0]]")).contains("series a: each x must be 0 or more"));
    assert!(why(&one("[[1, 2], [2, nan]]")).contains("series a: each x must be"));
    assert!(why(&(one("[[1, 2], [2, 3]]") + &one("[[1, 2], [2, 3]]"))).contains("two of that name"));
    assert!(why("[[series]]\nname='a'\n").contains("missing field"));
    assert!(why(&one("[[1, 2], [2, 3]]").replace("unit", "units")).contains("units"));
    let why = |text: &str| parse_assumptions(text).map(|_| ()).unwrap_err();
    assert!(why(&ASSUMPTIONS.replace("\"holders\"", "\"keepers\"")).contains("keepers"));
    assert!(why(&ASSUMPTIONS.replacen("value = 4000", "value = -1", 1))
        .contains("aggregators: must be more than 0"));
    assert!(why(&ASSUMPTIONS.replacen("value = 4000", "value = 4000.5", 1)).contains("whole number"));
    assert!(why(&ASSUMPTIONS.replacen("\"regions\"", "\"zones\"", 1)).contains("zones: there are two"));
    assert!(why(&ASSUMPTIONS.replacen("value = 0.99", "value = 1", 1))
        .contains("served_in_time: is out of range"));
    let short: String = ASSUMPTIONS.split("[[assumption]]\nname = \"seed\"").next().unwrap().into();
    assert!(why(&short).contains("seed"));
}

#[test]
fn subsets_have_the_chosen_size_and_keep_connections_to_remaining_run_stores() {
    let region = Region { aggregators: 60, blocks: 40, holders: 3, zones: 3 };
    for own_zone in [false, true] {
        let spread = subset::simulate(&region, Choice { chosen: 2, own_zone }, 1);
        assert_eq!(spread.connections, 80.0);
        assert_eq!(spread.held.0, 40.0);
        assert_eq!(spread.unnecessary, 0);
        assert!((spread.left - 1.5).abs() < 1e-9, "two of three zones carry the load of three: {spread:?}");
        assert!(spread.most.0 > 1.0 && spread.deviation > 0.0, "random choices are not even");
    }
    // All holders are connected already, so the loss of a zone needs no new connection.
    let all = subset::simulate(&region, Choice { chosen: 3, own_zone: false }, 1);
    assert_eq!((all.reconnected, all.deviation < 1e-9), (0.0, true));
    let one = subset::simulate(&region, Choice { chosen: 1, own_zone: false }, 1);
    let again = subset::simulate(&region, Choice { chosen: 1, own_zone: false }, 2);
    assert!((8.0..=20.0).contains(&one.reconnected), "about a third of 40 blocks: {one:?}");
    assert_ne!(one.most, again.most, "another seed gives another result");
}

#[test]
fn cold_run_store_stays_below_capacity_and_receives_less_from_fewer_senders() {
    let rule = ironpaddle::api::ColdStartRule {
        initial_share: 0.3,
        warm_within: 8000.0,
        overload_multiple: 2.0,
        overload_window: 1000.0,
    };
    let simulated = |senders: f64| {
        let sender = Sender {
            run_stores: 100,
            aggregators: 40,
            senders,
            parts: 200.0,
            utilization: 0.7,
            queries: 50.0,
            query_parts: 10.0,
            rule,
        };
        ramp::simulate(&sender, 3)
    };
    let (all, few) = (simulated(40.0), simulated(10.0));
    assert!((0.2..1.0).contains(&all.used) && all.peak < 1.0, "{all:?}");
    assert!(few.used < all.used * 0.6, "{few:?} {all:?}");
    assert!(few.sent < few.wanted && few.wanted == 20.0, "{few:?}");
}

#[test]
fn numbers_have_three_significant_digits() {
    for (value, text) in [
        (0.0, "0"),
        (17.857, "17.9"),
        (0.007178, "0.00718"),
        (55.0, "55"),
        (999.6, "1,000"),
        (5181.8, "5,180"),
        (56_000.0, "56,000"),
        (228e6, "228 million"),
        (999_960.0, "1 million"),
        (-1234.0, "-1,230"),
        (7.296, "7.3"),
        (99.97, "100"),
    ] {
        assert_eq!(number(value), text);
    }
}
