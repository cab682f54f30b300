import type Metrics from '../observe/Metrics';
import type Reading from '../observe/Reading';
import type Sidecar from './Sidecar';
import type SidecarCounters from './SidecarCounters';

/** Registers readers of a sidecar's state and counters, which are called whenever its metrics are rendered. */
export default function registerSidecarMetrics(
  sidecar: Sidecar,
  counters: SidecarCounters,
  metrics: Metrics,
): void {
  metrics.read('starts_total', () => [{ value: counters.starts }]);
  metrics.read('start_refusals_total', () => groupReadings(counters.refusals));
  metrics.read('done_total', () => groupReadings(counters.done));
  metrics.read('dials_total', () => [{ value: counters.dials }]);
  metrics.read('links_opened_total', () => [{ value: counters.linksOpened }]);
  metrics.read('slots', () => [{ value: sidecar.slotCount }]);
  metrics.read('tasks_running', () => [{ value: sidecar.runningCount }]);
  metrics.read('ledger_bytes', () => [{ value: sidecar.ledgerBytes }]);
  metrics.read('linked_entries', () => [{ value: sidecar.linkCount }]);
  metrics.read('view_number', () => [{ value: Number(sidecar.viewNumber) }]);
  metrics.read('configuration_version', () => [{ value: Number(sidecar.configurationVersion) }]);
}

function groupReadings(group: Readonly<Record<string, number>>): Reading[] {
  return Object.entries(group).map(([name, value]) => ({ labels: [name.toLowerCase()], value }));
}
