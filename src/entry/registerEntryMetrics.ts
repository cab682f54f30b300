import type { ServiceLoad } from '../gen/magnoliakeel/v1/peer_pb';
import type Metrics from '../observe/Metrics';
import type Entry from './Entry';

/** Registers the metrics that are read from an entry's state at each export. */
export default function registerEntryMetrics(entry: Entry, metrics: Metrics): void {
  const byService = (valueOf: (load: ServiceLoad) => number) => () =>
    entry.dispatcher
      .serviceLoads()
      .map((load) => ({ labels: [load.service], value: valueOf(load) }));
  metrics.setSource(
    'queue_length',
    byService(({ queued }) => queued),
  );
  metrics.setSource(
    'idle_credits',
    byService(({ idle }) => idle),
  );
  metrics.setSource('tasks_running', () => [{ value: entry.dispatcher.inFlight }]);
  metrics.setSource('jobs_open', () => [{ value: entry.jobs.openCount }]);
  metrics.setSource('job_records', () => [{ value: entry.jobs.records.size }]);
  metrics.setSource('linked_sidecars', () => [
    { value: entry.sidecarLinks.all().filter(({ link }) => link).length },
  ]);
  metrics.setSource('linked_entries', () => [{ value: entry.entryLinks.linked().length }]);
  metrics.setSource('view_number', () => [{ value: Number(entry.views.number) }]);
  metrics.setSource('configuration_version', () => [
    { value: Number(entry.configurations.number) },
  ]);
}
