import type Metrics from '../observe/Metrics';
import type Reading from '../observe/Reading';
import type RunSidecar from './RunSidecar';

/** Registers the metrics of a sidecar for leased runs, read whenever metrics are shown. */
export default function registerRunSidecarMetrics(sidecar: RunSidecar, metrics: Metrics): void {
  metrics.read('runs_held', () => [{ value: sidecar.runCount }]);
  metrics.read('backend_accepting', () => [{ value: sidecar.isAccepting ? 1 : 0 }]);
  metrics.read('runs_unsettled', () => [{ value: sidecar.inDoubtCount }]);
  metrics.read('heartbeats_passed_over_total', () => byLabel(sidecar.ignoredHeartbeats.byCause));
  metrics.read('backend_speed_ratio', () => [{ value: sidecar.durationRatio ?? 0 }]);
  metrics.read('linked_entries', () => [{ value: sidecar.linkCount }]);
  metrics.read('runs_over_total', () => byLabel(sidecar.outcomes));
  metrics.read('runs_stopped_total', () => byLabel(sidecar.stops));
}

function byLabel(counts: ReadonlyMap<string, number>): Reading[] {
  return [...counts].map(([label, value]) => ({ labels: [label], value }));
}
