import { Registry } from 'prom-client';
import type TimerService from '../core/TimerService';
import type MetricName from './MetricName';
import type MetricRow from './MetricRow';
import metricTable from './metricTable';
import type MetricReading from './MetricReading';
import WindowedHistogram from './WindowedHistogram';

/**
 * The metrics of one process. Counting is an addition in memory; the text is rendered only when the
 * metrics are scraped.
 */
export default class Metrics {
  private readonly registry = new Registry();

  private readonly counts = new Map<string, Map<string, number>>();

  private readonly histograms = new Map<string, Map<string, WindowedHistogram>>();

  private readonly sources = new Map<string, () => Iterable<MetricReading>>();

  private constructor(
    private readonly timer: TimerService,
    role: MetricRow['roles'][number],
  ) {
    const rows: [string, MetricRow][] = Object.entries(metricTable);
    rows
      .filter(([, row]) => row.roles.includes(role))
      .forEach(([name, row]) => this.register(name, row));
    this.setSource('process_cpu_seconds_total', readCpu);
    this.setSource('process_resident_bytes', () => [{ value: process.memoryUsage.rss() }]);
  }

  /** Creates the metrics that the table lists for a role, all at zero. */
  static create(timer: TimerService, role: MetricRow['roles'][number]): Metrics {
    return new Metrics(timer, role);
  }

  /** Increments a counter; the label values are given in the order of the table. */
  add(name: MetricName<'counter'>, by = 1, label = '', secondLabel = ''): void {
    const counts = this.counts.get(name);
    if (!counts) return;
    const key = secondLabel === '' ? label : `${label}${SEPARATOR}${secondLabel}`;
    counts.set(key, (counts.get(key) ?? 0) + by);
  }

  /** Adds a value, in the unit that the table gives, to a summary. */
  record(name: MetricName<'summary'>, value: number, label = ''): void {
    const histograms = this.histograms.get(name);
    if (!histograms) return;
    let histogram = histograms.get(label);
    if (!histogram) {
      histogram = WindowedHistogram.create(this.timer, SUMMARY_WINDOW_MS);
      histograms.set(label, histogram);
    }
    histogram.record(value);
  }

  /** Sets the function that supplies a gauge, or a counter kept elsewhere, each time metrics are rendered. */
  setSource(name: MetricName<'gauge' | 'counter'>, source: () => Iterable<MetricReading>): void {
    this.sources.set(name, source);
  }

  /** All metrics as Prometheus text, version 0.0.4. */
  render(): Promise<string> {
    return this.registry.metrics();
  }

  private register(name: string, row: MetricRow): void {
    if (row.kind === 'summary') this.histograms.set(name, new Map());
    else this.counts.set(name, new Map());
    const exportedName = `${PREFIX}${name}`;
    const get = async () => ({
      name: exportedName,
      help: row.help,
      type: row.kind,
      values: row.kind === 'summary' ? this.summaryOf(name, row) : this.valuesOf(name, row),
    });
    // The registry uses nothing of a metric but its name and `get`.
    this.registry.registerMetric({ name: exportedName, get } as never);
  }

  private valuesOf(name: string, row: MetricRow): Sample[] {
    const counters = [...this.counts.get(name)!].map(([key, value]) => ({
      labels: labelsOf(row, key.split(SEPARATOR)),
      value,
    }));
    const read = [...(this.sources.get(name)?.() ?? [])].map(({ labels = [], value }) => ({
      labels: labelsOf(row, labels),
      value,
    }));
    const values = [...counters, ...read];
    if (values.length === 0 && row.labels.length === 0) return [{ labels: {}, value: 0 }];
    return values;
  }

  private summaryOf(name: string, row: MetricRow): Sample[] {
    return [...this.histograms.get(name)!].flatMap(([label, histogram]) => {
      const labels = labelsOf(row, [label]);
      const quantiles = histogram.quantiles(QUANTILES) ?? [];
      return [
        ...quantiles.map((value, index) => ({
          labels: { ...labels, quantile: String(QUANTILES[index]) },
          value,
        })),
        { metricName: `${PREFIX}${name}_sum`, labels, value: histogram.sum },
        { metricName: `${PREFIX}${name}_count`, labels, value: histogram.count },
      ];
    });
  }
}

interface Sample {
  readonly metricName?: string;
  readonly labels: Readonly<Record<string, string>>;
  readonly value: number;
}

const PREFIX = 'magnoliakeel_';

/** Separates the values of two labels in a key; no label value contains it. */
const SEPARATOR = '\n';

const QUANTILES = [0.5, 0.9, 0.99, 0.999, 1];

const SUMMARY_WINDOW_MS = 60_000;

function labelsOf(row: MetricRow, values: readonly string[]): Record<string, string> {
  return Object.fromEntries(row.labels.map((label, index) => [label, values[index] ?? '']));
}

function readCpu(): MetricReading[] {
  const { user, system } = process.cpuUsage();
  return [{ value: (user + system) / 1e6 }];
}
