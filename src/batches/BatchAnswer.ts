/**
 * The answer to a caller.
 *
 * `completed`: every task is done. `failed`: a task has failed as often as its queue allows.
 *
 * `not-run`: no task was started and none will be; the caller may retry after `retryAfterMs`.
 *
 * `cancelled`: ended at the caller's request; active runs are being stopped.
 *
 * `unknown`: given up; tasks may have run, and active runs are being stopped.
 */
type BatchAnswer =
  | { readonly kind: 'completed' }
  | { readonly kind: 'failed'; readonly reason: string }
  | { readonly kind: 'not-run'; readonly reason: string; readonly retryAfterMs: number }
  | { readonly kind: 'cancelled' }
  | { readonly kind: 'unknown'; readonly reason: string };
export type { BatchAnswer as default };
