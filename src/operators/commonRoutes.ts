import metricsRoute from './metricsRoute';
import type OperatorRoute from './OperatorRoute';

/** Functions that every daemon provides to these routes. */
interface ProcessHooks {
  /** Whether the process can do its work now; false while it shuts down. */
  readonly isReady: () => boolean;
  /** All metrics as Prometheus text. */
  readonly metrics: () => Promise<string>;
  /** Starts a graceful shutdown. */
  readonly drain: () => void;
}

/** The routes of every daemon: health, readiness, metrics and draining. */
export default function commonRoutes({ isReady, metrics, drain }: ProcessHooks): OperatorRoute[] {
  return [
    { method: 'GET', path: /^\/healthz$/, handle: () => ({ status: 200, body: 'ok\n' }) },
    {
      method: 'GET',
      path: /^\/readyz$/,
      handle: () =>
        isReady() ? { status: 200, body: 'ready\n' } : { status: 503, body: 'not ready\n' },
    },
    metricsRoute(metrics),
    {
      method: 'POST',
      path: /^\/v1\/drain$/,
      handle: () => {
        drain();
        return { status: 202, body: { leaving: true } };
      },
    },
  ];
}
