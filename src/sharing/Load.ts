/** Backlog and start rate at one level of urgency, in thousandths of a core. */
interface LevelLoad {
  /** 0 is the most urgent. */
  readonly level: number;
  /** What the waiting tasks need to start. */
  readonly waitingMilli: number;
  /** What the tasks need that start within a second, estimated from recent starts. */
  readonly startingMilli: number;
}

/** The load on the backend servers of one service, from one entry or from several combined. */
export default interface Load {
  readonly levels: readonly LevelLoad[];
}
