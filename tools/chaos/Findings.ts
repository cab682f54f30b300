/** What `checkJournal` found in the journal of a run. */
export default interface Findings {
  readonly jobs: number;
  readonly requests: number;
  readonly attempts: number;
  /** Number of final answers by outcome. */
  readonly finals: Readonly<Record<string, number>>;
  /** Number of all answers by outcome, including those to resubmissions. */
  readonly answers: Readonly<Record<string, number>>;
  /** Number of "unknown" answers by reason. */
  readonly doubts: Readonly<Record<string, number>>;
  readonly starts: number;
  /** Repeated starts of idempotent requests, which are allowed but waste work. */
  readonly waste: number;
  /** Violations by name of the guarantee, with a line of text for each case. */
  readonly broken: Readonly<Record<string, readonly string[]>>;
  /** Longest time, in milliseconds, from a disruption to the final answer of a work item that was open at that time. */
  readonly longestWaitMs: number;
  /** Kind and target of that disruption. */
  readonly longestWaitAfter: string;
}
