import type { ServiceLoad } from '../gen/magnoliakeel/v1/peer_pb';
import type Metrics from '../observe/Metrics';
import type Entry from './Entry';

/** Registers the metrics that are read from an entry's state at each export. */
export default function registerEntryMetrics(entry: Entry, metrics: Metrics): void {
  const byService = (valueOf: (load: ServiceLoad) => number) => () =>
    entry.dispatcher
      .serviceLoads()
      .map((load) => ({ labels: [load.service], value: valueOf(load) }));
  metrics.read(
    'queue_length',
    byService(({ queued }) => queued),
  );
  metrics.read(
    'idle_credits',
    byService(({ idle }) => idle),
  );
  metrics.read('tasks_running', () => [{ value: entry.dispatcher.inFlight }]);
  metrics.read('jobs_open', () => [{ value: entry.jobs.openCount }]);
  metrics.read('job_records', () => [{ value: entry.jobs.size }]);
  metrics.read('linked_sidecars', () => [
    { value: entry.sidecarLinks.all().filter(({ link }) => link).length },
  ]);
  metrics.read('linked_entries', () => [{ value: entry.entryLinks.linked().length }]);
  metrics.read('view_number', () => [{ value: Number(entry.views.number) }]);
  metrics.read('configuration_version', () => [{ value: Number(entry.configurations.number) }]);
}
