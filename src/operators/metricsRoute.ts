import type OperatorRoute from './OperatorRoute';

/** The route at which a process shows its metrics as Prometheus text. */
export default function metricsRoute(render: () => Promise<string>): OperatorRoute {
  return {
    method: 'GET',
    path: /^\/metrics$/,
    handle: async () => ({ status: 200, body: await render() }),
  };
}
