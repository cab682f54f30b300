/** Times and counts by which a sidecar deals with its backend server, in milliseconds unless said otherwise. */
const runLimits = {
  /**
   * How long everything runs on after the last renewal. The users' pages allow a second; less makes
   * a lost backend server's tasks known to be over sooner, and still covers a sidecar that is held
   * up for several hundred milliseconds.
   */
  leaseMs: 800,
  /** How long a renewal waits for an end. Ends are told at once, so this only bounds silence. */
  pollWaitMs: 150,
  /** How often to look for the end of a run that was stopped, when no end has come by itself. */
  stopPollIntervalMs: 20,
  /** Time to kill what runs once its lease is over; the users' pages give 50, and a timer may be late. */
  killMs: 80,
  /** Pause before a call is made again that failed at once. */
  retryDelayMs: 30,
  /** Starts sent for one run, all with the same attempt number, before it is given up and stopped. */
  maxStartTries: 5,
  /** Renewals in a row without an answer after which the backend server counts as silent... */
  silentAfterPolls: 2,
  /** ...and time in which no call at all was answered: answers are lost one by one while it lives. */
  silentAfterMs: 500,
  /** How long a next life is awaited by runs that it may start: orders are carried out seconds late. */
  nextIncarnationMs: 5_000,
  /** How often a silent backend server is asked again. */
  silentPollIntervalMs: 200,
  /**
   * How long an order waits for room before it is refused, so that two entries that chose the same
   * room do not both start over. Longer, work would wait here while there is room elsewhere.
   */
  capacityWaitMs: 5,
  /** Orders that may wait so. */
  maxWaitingRequests: 8,
  /** Attempt numbers that are remembered for tasks that are over; older ones are forgotten first. */
  maxRememberedAttempts: 20_000,
} as const;

export default runLimits;
