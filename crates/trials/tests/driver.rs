//! Load plans, and the figures, fits and report of a run.

use expect_test::expect;
use std::time::Duration;
use trials::{Arrival, End, Figures, LinearFit, LoadPlan, Outcome, RequestClass, Sample};

fn plan(seed: u64) -> LoadPlan {
    let class = |name, rate, tokens| RequestClass {
        name,
        rate,
        prompt_tokens: tokens,
        output_tokens: 8..=64,
        time_limit: Duration::from_secs(10),
    };
    let classes = vec![
        class("short", 50.0, 1_000..=8_000),
        class("long", 1.0, 100_000..=1_000_000),
    ];
    LoadPlan::poisson(seed, Duration::from_secs(60), classes)
}

#[test]
fn plan_follows_from_its_seed() {
    assert_eq!(plan(7).arrivals, plan(7).arrivals);
    assert_ne!(plan(7).arrivals, plan(8).arrivals);
}

#[test]
fn plan_keeps_rates_ranges_and_order() {
    let plan = plan(7);
    let of_class = |class| {
        plan.arrivals
            .iter()
            .filter(move |arrival| arrival.class == class)
    };
    assert!((2_700..3_300).contains(&of_class(0).count()));
    assert!((35..85).contains(&of_class(1).count()));
    assert!(of_class(1).all(|arrival| (100_000..=1_000_000).contains(&arrival.prompt_tokens)));
    assert!(plan.arrivals.is_sorted_by_key(|arrival| arrival.at));
}

#[test]
fn failed_bound_shows_in_the_line() {
    let mut figures = Figures::new("trial", 3);
    figures.at_most("added_ms", 1.25, 1.0);
    figures.at_least("whole", 1.0, 1.0);
    assert!(!figures.all_bounds_hold());
    expect![[r#"{"scenario":"trial","seed":3,"figures":{"added_ms":1.25,"whole":1.0},"bounds":[{"name":"added_ms","value":1.25,"at_most":1.0,"holds":false},{"name":"whole","value":1.0,"at_least":1.0,"holds":true}]}"#]]
    .assert_eq(&figures.to_json());
}

#[test]
fn fit_finds_slope_and_error() {
    let exact: Vec<(f64, f64)> = (1..=4)
        .map(|x| (f64::from(x), 5.0 + 2.0 * f64::from(x)))
        .collect();
    let fit = LinearFit::of(&exact);
    assert!((fit.intercept - 5.0).abs() < 1e-9 && (fit.slope - 2.0).abs() < 1e-9);
    assert!(fit.slope_error < 1e-9);
    let noisy = LinearFit::of(&[(1.0, 1.0), (2.0, 3.0), (3.0, 2.0), (4.0, 4.0)]);
    assert!((noisy.slope - 0.8).abs() < 1e-9);
    assert!((noisy.slope_error - 0.424_264).abs() < 1e-6);
}

#[test]
fn report_is_one_page_with_plots() {
    let plan = plan(7);
    let outcome = |arrival: &Arrival| Outcome {
        end: End::Whole,
        first_byte: Some(Duration::from_micros(arrival.prompt_tokens)),
        longest_gap: Duration::ZERO,
        mean_gap: Duration::ZERO,
        total: Duration::from_secs(1),
        bytes: 1,
        checksum: 0,
        text: "".into(),
    };
    let samples: Vec<Sample> = plan
        .arrivals
        .iter()
        .map(|arrival| Sample {
            arrival: arrival.clone(),
            outcome: outcome(arrival),
        })
        .collect();
    let mut figures = Figures::new("trial", 3);
    figures.at_most("failed", 0.0, 0.0);
    figures.add_run("only run", &samples);
    let page = trials::html_report(&figures).unwrap();
    assert_eq!(page.matches("<svg").count(), 3);
    assert!(page.contains("holds") && page.contains("only run"));
    assert!(!page.contains("http-equiv") && !page.contains("<script"));
}
