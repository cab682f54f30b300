import type sendingWays from './sendingWays';

/** Name of a way in which callers send a job. */
type SendingWay = keyof typeof sendingWays;

export type { SendingWay as default };
