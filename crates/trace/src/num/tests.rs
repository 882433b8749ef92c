use super::*;

#[test]
fn every_number_is_encoded_losslessly() {
    let now = 1_764_608_967_123.456_7_f64;
    for value in [0.0, -0.0, 0.1, 1.0 / 3.0, 0.123_456, -7.5, now, f64::MAX, f64::MIN_POSITIVE, f64::INFINITY]
    {
        assert_eq!(Num::of(value).value().to_bits(), value.to_bits(), "{value}");
        assert_eq!(Num::since(now, value).after(now).to_bits(), value.to_bits(), "{value} after {now}");
    }
    assert!(Num::of(f64::NAN).value().is_nan());
}

#[test]
fn timestamps_and_reports_have_compact_encodings() {
    let now = 1_764_608_967_123.456_7_f64;
    assert!(matches!(Num::since(now, now - 12.345), Num::Step(steps) if steps.abs() < 100_000));
    assert_eq!(Num::of(0.61), Num::Decimal(610_000));
    assert_eq!(Num::of(250.0), Num::Step(1_024_000));
}
