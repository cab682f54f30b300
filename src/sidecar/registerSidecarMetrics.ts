import type Metrics from '../observe/Metrics';
import type MetricReading from '../observe/MetricReading';
import type Sidecar from './Sidecar';
import type SidecarCounters from './SidecarCounters';

/** Registers readers of a sidecar's state and counters, which are called whenever its metrics are rendered. */
export default function registerSidecarMetrics(
  sidecar: Sidecar,
  counters: SidecarCounters,
  metrics: Metrics,
): void {
  metrics.setSource('starts_total', () => [{ value: counters.starts }]);
  metrics.setSource('start_refusals_total', () => groupReadings(counters.refusals));
  metrics.setSource('done_total', () => groupReadings(counters.done));
  metrics.setSource('dials_total', () => [{ value: counters.dials }]);
  metrics.setSource('links_opened_total', () => [{ value: counters.linksOpened }]);
  metrics.setSource('slots', () => [{ value: sidecar.slotCount }]);
  metrics.setSource('tasks_running', () => [{ value: sidecar.runningCount }]);
  metrics.setSource('ledger_bytes', () => [{ value: sidecar.ledgerBytes }]);
  metrics.setSource('linked_entries', () => [{ value: sidecar.linkCount }]);
  metrics.setSource('view_number', () => [{ value: Number(sidecar.viewNumber) }]);
  metrics.setSource('configuration_version', () => [
    { value: Number(sidecar.configurationVersion) },
  ]);
}

function groupReadings(group: Readonly<Record<string, number>>): MetricReading[] {
  return Object.entries(group).map(([name, value]) => ({ labels: [name.toLowerCase()], value }));
}
