import type CallKind from './CallKind';

/** Calls made, by kind. Kinds that were never called are absent. */
type CallCounts = Partial<Record<CallKind, number>>;
export type { CallCounts as default };
