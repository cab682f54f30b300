import type Metrics from '../observe/Metrics';
import type BatchEntry from './BatchEntry';

/** Registers the gauges of a batch entry, which are read whenever the metrics are rendered. */
export default function registerBatchEntryMetrics(entry: BatchEntry, metrics: Metrics): void {
  metrics.read('batches_open', () => [{ value: entry.openCount }]);
  metrics.read('batch_tasks_waiting', () => [{ value: entry.queuedCount }]);
  metrics.read('lateness_seconds', () => [{ value: entry.lagMs / SECOND_MS }]);
  metrics.read('backends_by_speed', () => {
    const speeds = [...entry.speeds.values()];
    return [
      { labels: ['fast'], value: speeds.filter((ratio) => ratio < 1).length },
      { labels: ['slow'], value: speeds.filter((ratio) => ratio > 1).length },
    ];
  });
  metrics.read('linked_sidecars', () => [{ value: entry.sidecarCount }]);
  metrics.read('linked_entries', () => [{ value: entry.entryLinkCount }]);
  metrics.read('drained_zones', () => [{ value: entry.drainedZones.zones.length }]);
  metrics.read('configuration_version', () => [{ value: entry.table.version }]);
}

const SECOND_MS = 1_000;
