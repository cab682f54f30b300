import type metricTable from './metricTable';

type Table = typeof metricTable;

/** The name of a metric of one kind, as the table has it. */
type MetricName<Kind extends Table[keyof Table]['kind']> = {
  [Name in keyof Table]: Table[Name]['kind'] extends Kind ? Name : never;
}[keyof Table];

export type { MetricName as default };
