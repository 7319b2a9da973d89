//! Renders a timeline as a self-contained HTML page.

use crate::timeline::{kind_text, time_of_day};
use proto::{Event, EventKind};
use std::collections::BTreeMap;
use std::fmt::Write;

const WIDTH: f64 = 1200.0;
const LABEL_WIDTH: f64 = 220.0;
const LANE_HEIGHT: f64 = 28.0;
const MARGIN: f64 = 20.0;
const EVENT_RADIUS: f64 = 5.0;
const STYLE: &str = "body{font:14px sans-serif;margin:2em}td,th{padding:2px 10px;text-align:left}\
    text{font-size:12px}line{stroke:#ccc}polyline{fill:none;stroke:#8ab;stroke-width:1}\
    .bad{fill:#c33}.move{fill:#c80}.good{fill:#283}.plain{fill:#357}";

/// Renders events as an HTML page: a diagram with a lane for each process, a dot for each event in
/// causal order from left to right and a line through the events of each request, followed by a
/// table of the events.
pub fn timeline_page(events: &[Event]) -> String {
    let mut lanes = BTreeMap::new();
    for event in events {
        let next = lanes.len();
        lanes.entry(&*event.node).or_insert(next);
    }
    let mut page =
        String::from("<!doctype html>\n<meta charset=\"utf-8\"><title>time line</title>\n");
    let _ = writeln!(page, "<style>{STYLE}</style>");
    write_diagram(&mut page, events, &lanes);
    write_table(&mut page, events);
    page
}

fn write_diagram(page: &mut String, events: &[Event], lanes: &BTreeMap<&str, usize>) {
    let height = MARGIN * 2.0 + LANE_HEIGHT * lanes.len() as f64;
    let _ = writeln!(
        page,
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{WIDTH}\" height=\"{height}\">"
    );
    let lane_y = |lane: usize| MARGIN + LANE_HEIGHT * (lane as f64 + 0.5);
    for (node, lane) in lanes {
        let y = lane_y(*lane);
        let _ = writeln!(page, "<text x=\"0\" y=\"{y}\">{}</text>", escape_html(node));
        let _ = writeln!(
            page,
            "<line x1=\"{LABEL_WIDTH}\" y1=\"{y}\" x2=\"{WIDTH}\" y2=\"{y}\"/>"
        );
    }
    // Events are spaced equally instead of by time, as those of one request are often microseconds
    // apart.
    let step = (WIDTH - LABEL_WIDTH - MARGIN) / events.len().max(1) as f64;
    let position = |index: usize| {
        let lane = lanes.get(&*events[index].node).copied().unwrap_or_default();
        (LABEL_WIDTH + step * (index as f64 + 0.5), lane_y(lane))
    };
    let mut paths: BTreeMap<u128, String> = BTreeMap::new();
    for (index, event) in events.iter().enumerate() {
        if let Some(request) = event.request {
            let (x, y) = position(index);
            let _ = write!(paths.entry(request).or_default(), "{x:.1},{y:.1} ");
        }
    }
    for path in paths.values() {
        let _ = writeln!(page, "<polyline points=\"{}\"/>", path.trim_end());
    }
    for (index, event) in events.iter().enumerate() {
        let (x, y) = position(index);
        let class = css_class(&event.kind);
        let title = format!(
            "{} {}: {} {}",
            time_of_day(event.stamp),
            event.node,
            kind_text(&event.kind),
            event.detail
        );
        let _ = writeln!(
            page,
            "<circle class=\"{class}\" cx=\"{x:.1}\" cy=\"{y:.1}\" r=\"{EVENT_RADIUS}\"><title>{}</title></circle>",
            escape_html(&title)
        );
    }
    page.push_str("</svg>\n");
}

fn write_table(page: &mut String, events: &[Event]) {
    page.push_str(
        "<table><tr><th>time<th>node<th>event<th>request<th>team<th>server<th>detail</tr>\n",
    );
    for event in events {
        let request = event
            .request
            .map_or_else(String::new, |request| format!("{request:032x}"));
        let cells = [
            time_of_day(event.stamp),
            event.node.to_string(),
            kind_text(&event.kind),
            request,
            event.team.as_deref().unwrap_or_default().to_owned(),
            event.server.as_deref().unwrap_or_default().to_owned(),
            event.detail.to_string(),
        ];
        let cells = cells.map(|cell| format!("<td>{}", escape_html(&cell)));
        let _ = writeln!(page, "<tr>{}</tr>", cells.concat());
    }
    page.push_str("</table>\n");
}

fn css_class(kind: &EventKind) -> &'static str {
    match kind {
        EventKind::Refused
        | EventKind::Failed
        | EventKind::Cancelled
        | EventKind::NodeDown(_)
        | EventKind::LeaseLost(_)
        | EventKind::ColdStart => "bad",
        EventKind::ConfigInForce(_)
        | EventKind::DomainOut(_)
        | EventKind::DomainIn(_)
        | EventKind::Draining => "move",
        EventKind::Finished(_) | EventKind::Warm | EventKind::NodeUp(_) => "good",
        _ => "plain",
    }
}

fn escape_html(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
        .replace('"', "&quot;")
}
