import type Metrics from '../observe/Metrics';
import type MetricReading from '../observe/MetricReading';
import type RunSidecar from './RunSidecar';

/** Registers the metrics of a sidecar for leased runs, read whenever metrics are shown. */
export default function registerRunSidecarMetrics(sidecar: RunSidecar, metrics: Metrics): void {
  metrics.setSource('runs_held', () => [{ value: sidecar.runCount }]);
  metrics.setSource('backend_accepting', () => [{ value: sidecar.isAccepting ? 1 : 0 }]);
  metrics.setSource('runs_unsettled', () => [{ value: sidecar.inDoubtCount }]);
  metrics.setSource('heartbeats_passed_over_total', () =>
    byLabel(sidecar.ignoredHeartbeats.byCause),
  );
  metrics.setSource('backend_speed_ratio', () => [{ value: sidecar.durationRatio ?? 0 }]);
  metrics.setSource('linked_entries', () => [{ value: sidecar.linkCount }]);
  metrics.setSource('runs_over_total', () => byLabel(sidecar.outcomes));
  metrics.setSource('runs_stopped_total', () => byLabel(sidecar.stops));
}

function byLabel(counts: ReadonlyMap<string, number>): MetricReading[] {
  return [...counts].map(([label, value]) => ({ labels: [label], value }));
}
