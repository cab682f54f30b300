import type PlatformCall from './PlatformCall';

/** One kind of call that the stand-in serves. */
export default interface Route {
  readonly method: string;
  readonly path: RegExp;
  /** Answers the call; `part` is the variable part of the path. */
  readonly handle: (call: PlatformCall, part: string) => Promise<Reply>;
}

interface Reply {
  readonly status: number;
  readonly body: unknown;
}
