import type CallKind from './CallKind';

/** Number of calls by kind; kinds that were never called are absent. */
type CallCounts = Partial<Record<CallKind, number>>;
export type { CallCounts as default };
