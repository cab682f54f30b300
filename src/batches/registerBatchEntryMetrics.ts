import type Metrics from '../observe/Metrics';
import type BatchEntry from './BatchEntry';

/** Registers the gauges of a batch entry, which are read whenever the metrics are rendered. */
export default function registerBatchEntryMetrics(entry: BatchEntry, metrics: Metrics): void {
  metrics.setSource('batches_open', () => [{ value: entry.openCount }]);
  metrics.setSource('batch_tasks_waiting', () => [{ value: entry.queuedCount }]);
  metrics.setSource('lateness_seconds', () => [{ value: entry.lagMs / SECOND_MS }]);
  metrics.setSource('backends_by_speed', () => {
    const speeds = [...entry.machineRatios.values()];
    return [
      { labels: ['fast'], value: speeds.filter((ratio) => ratio < 1).length },
      { labels: ['slow'], value: speeds.filter((ratio) => ratio > 1).length },
    ];
  });
  metrics.setSource('linked_sidecars', () => [{ value: entry.sidecarCount }]);
  metrics.setSource('linked_entries', () => [{ value: entry.entryLinkCount }]);
  metrics.setSource('drained_zones', () => [{ value: entry.drainedZones.zones.length }]);
  metrics.setSource('configuration_version', () => [{ value: entry.table.version }]);
}

const SECOND_MS = 1_000;
