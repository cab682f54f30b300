/** Timings and limits of a sidecar's calls to its backend server, in milliseconds unless said otherwise. */
const runLimits = {
  /**
   * How long everything goes on running after the last renewal. The user documentation allows a second; with
   * less, the tasks of a lost backend server are known to have ended sooner, and it still covers a sidecar that
   * is paused for several hundred milliseconds.
   */
  leaseMs: 800,
  /** How long a poll waits for an end. Ends are reported at once, so this only bounds the silence. */
  pollWaitMs: 150,
  /** How often to poll for the end of a stopped run that has not been reported yet. */
  stopPollIntervalMs: 20,
  /** Time to kill what runs once its lease has expired; the user documentation allows 50, and a timer may be late. */
  killMs: 80,
  /** Delay before a call is retried that failed at once. */
  retryDelayMs: 30,
  /** Starts sent for one run, all with the same attempt number, before it is given up and stopped. */
  maxStartTries: 5,
  /** Unanswered polls in a row after which the backend server counts as silent, if `silentAfterMs` has passed too. */
  silentAfterPolls: 2,
  /** Minimum time without any answered call before that: single answers get lost while the backend server lives. */
  silentAfterMs: 500,
  /** How long in-doubt runs wait for the next incarnation: starts are executed seconds late. */
  nextIncarnationMs: 5_000,
  /** How often a silent backend server is polled. */
  silentPollIntervalMs: 200,
  /**
   * How long a start request waits for free capacity before it is refused, so that two entries that chose the same
   * capacity do not both start over. If it waited longer, work would wait here while there is capacity elsewhere.
   */
  capacityWaitMs: 5,
  /** Maximum number of start requests that wait for free capacity. */
  maxWaitingRequests: 8,
  /** Attempt numbers to remember for tasks that have ended; the oldest are forgotten first. */
  maxRememberedAttempts: 20_000,
} as const;

export default runLimits;
