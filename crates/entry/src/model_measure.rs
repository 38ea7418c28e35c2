//! Latency measurements of model requests, by customer and by request class and prompt length.

use std::time;

use slipturn_core::{histogram, ids, units};

use crate::{event, model_request, place};

impl model_request::ModelRequest {
    /// Records one duration in the histograms of the request's customer and of its class and prompt
    /// length.
    pub(crate) fn measure(&self, kind: histogram::MeasureKind, span: time::Duration) {
        self.measure_all(kind, vec![span]);
    }

    /// Records several durations in the histograms of the request's customer and of its class and
    /// prompt length.
    pub(crate) fn measure_all(&self, kind: histogram::MeasureKind, spans: Vec<time::Duration>) {
        let settings = &self.admitted.grant.settings;
        let class = settings.class.as_ref().map_or("-", ids::ClassId::as_str);
        let band = histogram::band_name(self.admitted.plan_query.prompt);
        let series =
            vec![format!("customer/{}", settings.customer), format!("class/{class}/{band}")];
        self.context.events.send(event::EntryEvent::Measure(kind, series, spans));
    }

    /// Records the time that an attempt waited until a scheduler granted its place on an engine.
    pub(crate) fn measure_wait(&self, place: &place::HeldPlace) {
        let waited = time::Duration::from_millis(place.row.waited_ms);
        self.measure(histogram::MeasureKind::PlaceWait, waited);
    }

    /// Stores the interval since the previous piece of the answer, which arrived at `last`, and
    /// updates `last`. The intervals are recorded when the request ends.
    pub(crate) fn measure_piece(&mut self, last: &mut Option<units::MonoTime>) {
        let now = self.context.clock.now();
        if let Some(last) = last.replace(now) {
            self.intervals.push(now.since(last));
        }
    }
}
