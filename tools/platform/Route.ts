import type PlatformCall from './PlatformCall';

/** A call that the simulated platform serves. */
export default interface Route {
  readonly method: string;
  readonly path: RegExp;
  /** Answers the call; `pathParameter` is the variable part of the path. */
  readonly handle: (call: PlatformCall, pathParameter: string) => Promise<Reply>;
}

interface Reply {
  readonly status: number;
  readonly body: unknown;
}
