import metricsRoute from './metricsRoute';
import type OperatorRoute from './OperatorRoute';

/** What every daemon tells its operators. */
interface Process {
  /** Whether it can do its work now; false while it leaves. */
  readonly isReady: () => boolean;
  /** All metrics as Prometheus text. */
  readonly metrics: () => Promise<string>;
  /** Starts leaving in good order. */
  readonly drain: () => void;
}

/** The routes of every daemon: health, readiness, metrics and draining. */
export default function commonRoutes({ isReady, metrics, drain }: Process): OperatorRoute[] {
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
