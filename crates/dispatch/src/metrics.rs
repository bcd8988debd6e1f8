//! Counters, gauges and latency histograms, served as text.

use cyclamenloft_http::{Request, Response, server::Handler, text_response};
use http::StatusCode;
use prometheus_client::{
    encoding::{EncodeLabelSet, text::encode},
    metrics::{
        counter::Counter,
        family::Family,
        gauge::Gauge,
        histogram::{Histogram, exponential_buckets},
    },
    registry::Registry,
};
use std::{borrow::Cow, net::SocketAddr, rc::Rc, time::Duration};

/// Upper bound of the first bucket of a histogram, in seconds: shorter than a call inside a
/// failure domain.
const FIRST_BUCKET_S: f64 = 0.0005;
/// Number of buckets of a histogram. The upper bound of each is twice that of the previous
/// one; the last is 16 s, longer than any client's deadline.
const BUCKETS: u16 = 16;

/// Labels of a counted event.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct EventLabels {
    /// What was done, such as `submit` or `start`.
    pub what: Cow<'static, str>,
    /// The outcome, such as `accepted`.
    pub outcome: Cow<'static, str>,
}

/// Labels of a duration or a gauge.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct MetricLabels {
    /// What is measured, such as `commit`.
    pub what: Cow<'static, str>,
}

/// Labels of a gauge of one failure domain.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct DomainLabels {
    /// What is measured, such as `runs-left`.
    pub what: Cow<'static, str>,
    /// The domain.
    pub domain: String,
}

/// The metrics of a process.
pub struct Metrics {
    registry: Registry,
    events: Family<EventLabels, Counter>,
    durations: Family<MetricLabels, Histogram>,
    gauges: Family<MetricLabels, Gauge>,
    domain_gauges: Family<DomainLabels, Gauge>,
}

impl Default for Metrics {
    fn default() -> Self {
        let events = Family::<EventLabels, Counter>::default();
        let durations = Family::<MetricLabels, Histogram>::new_with_constructor(|| {
            Histogram::new(exponential_buckets(FIRST_BUCKET_S, 2.0, BUCKETS))
        });
        let gauges = Family::<MetricLabels, Gauge>::default();
        let mut registry = Registry::with_prefix("cyclamenloft");
        registry.register("events", "Events by outcome", events.clone());
        registry.register("seconds", "Durations", durations.clone());
        registry.register("level", "Present sizes", gauges.clone());
        let domain_gauges = Family::<DomainLabels, Gauge>::default();
        registry.register("domain_level", "Present sizes by failure domain", domain_gauges.clone());
        Self { registry, events, durations, gauges, domain_gauges }
    }
}

impl Metrics {
    /// Counts an event.
    pub fn count(&self, what: impl Into<Cow<'static, str>>, outcome: impl Into<Cow<'static, str>>) {
        self.count_many(what, outcome, 1);
    }

    /// Counts `events` events with the same labels.
    pub fn count_many(
        &self,
        what: impl Into<Cow<'static, str>>,
        outcome: impl Into<Cow<'static, str>>,
        events: u64,
    ) {
        let event = EventLabels { what: what.into(), outcome: outcome.into() };
        self.events.get_or_create(&event).inc_by(events);
    }

    /// Records how long something took.
    pub fn time(&self, what: impl Into<Cow<'static, str>>, duration: Duration) {
        self.durations
            .get_or_create(&MetricLabels { what: what.into() })
            .observe(duration.as_secs_f64());
    }

    /// Sets a gauge.
    pub fn level(&self, what: impl Into<Cow<'static, str>>, value: usize) {
        let value = i64::try_from(value).unwrap_or(i64::MAX);
        self.gauges.get_or_create(&MetricLabels { what: what.into() }).set(value);
    }

    /// Sets a gauge of a failure domain.
    pub fn domain_level(&self, what: impl Into<Cow<'static, str>>, domain: &str, value: usize) {
        let value = i64::try_from(value).unwrap_or(i64::MAX);
        let labels = DomainLabels { what: what.into(), domain: domain.into() };
        self.domain_gauges.get_or_create(&labels).set(value);
    }

    /// Returns all metrics as text.
    #[must_use]
    pub fn text(&self) -> String {
        let mut text = String::new();
        if let Err(e) = encode(&mut text, &self.registry) {
            tracing::warn!(error = %e, "metrics were not encoded");
        }
        text
    }
}

/// Serves the metrics on every path.
pub struct MetricsHandler(pub Rc<Metrics>);

impl Handler for MetricsHandler {
    async fn handle(&self, _req: Request, _remote: SocketAddr) -> Response {
        text_response(StatusCode::OK, self.0.text())
    }
}
