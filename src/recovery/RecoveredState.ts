import type LocatedTask from './LocatedTask';

/**
 * What is known of a job that this entry has no record of.
 *
 * - `fresh`: no task of it was ever started.
 * - `held`: another entry holds its record.
 * - `continued`: sidecars hold evidence of it; with `doubt`, other evidence may be lost.
 * - `unavailable`: it can't be told now.
 */
type RecoveredState =
  | { readonly kind: 'fresh' }
  | { readonly kind: 'held'; readonly incarnation: string }
  | {
      readonly kind: 'continued';
      readonly digest: string | undefined;
      readonly tasks: readonly LocatedTask[];
      readonly doubt: boolean;
    }
  | { readonly kind: 'unavailable'; readonly reason: string };

export type { RecoveredState as default };
