/**
 * How a life of a backend server has ended. `gone`: nothing listens at its address. `reborn`: a later life under the
 * same id is there, which takes calls that were meant for this one. `replaced`: one of another id is there, which
 * turns them away. `displaced`: one of another id is there, at another address, so it may still be at its own.
 * `abandoned`: by an error of this process.
 */
type IncarnationEnd = 'gone' | 'reborn' | 'replaced' | 'displaced' | 'abandoned';
export type { IncarnationEnd as default };
