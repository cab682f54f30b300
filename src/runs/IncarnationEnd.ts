/**
 * How an incarnation of a backend server has ended. `gone`: nothing listens at its address. `reborn`: a later
 * incarnation under the same id is there, which accepts calls that were meant for this one. `replaced`: one
 * with another id is there, which rejects them. `displaced`: one with another id is there, at another address,
 * so this one may still be at its own. `abandoned`: an error in this process.
 */
type IncarnationEnd = 'gone' | 'reborn' | 'replaced' | 'displaced' | 'abandoned';
export type { IncarnationEnd as default };
