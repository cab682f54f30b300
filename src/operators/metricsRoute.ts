import type OperatorRoute from './OperatorRoute';

/** The route that serves the metrics of a process as Prometheus text. */
export default function metricsRoute(render: () => Promise<string>): OperatorRoute {
  return {
    method: 'GET',
    path: /^\/metrics$/,
    handle: async () => ({ status: 200, body: await render() }),
  };
}
