import type LocatedTask from './LocatedTask';

/**
 * What could be found out about a job of which this entry has no record.
 *
 * - `fresh`: none of its tasks was ever started.
 * - `held`: another entry has its record.
 * - `continued`: sidecars have evidence of started tasks; with `doubt`, further evidence may have been lost.
 * - `unavailable`: the state can't be determined now.
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
