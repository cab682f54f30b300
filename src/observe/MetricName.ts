import type metricTable from './metricTable';

type Table = typeof metricTable;

/** The names in the metric table that belong to metrics of one kind. */
type MetricName<Kind extends Table[keyof Table]['kind']> = {
  [Name in keyof Table]: Table[Name]['kind'] extends Kind ? Name : never;
}[keyof Table];

export type { MetricName as default };
