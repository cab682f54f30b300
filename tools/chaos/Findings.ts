/** What the checker found in a run's journal. */
export default interface Findings {
  readonly jobs: number;
  readonly requests: number;
  readonly attempts: number;
  /** Final answers by outcome. */
  readonly finals: Readonly<Record<string, number>>;
  /** All answers by outcome, resubmissions too. */
  readonly answers: Readonly<Record<string, number>>;
  /** Reasons of the answers "unknown", how often each was given. */
  readonly doubts: Readonly<Record<string, number>>;
  readonly starts: number;
  /** Second starts of retryable requests, which are allowed and cost work. */
  readonly waste: number;
  /** Each broken promise by its name, with one line for each case. */
  readonly broken: Readonly<Record<string, readonly string[]>>;
  /** Longest time from a disruption to the final answer of a piece of work that was open then. */
  readonly longestWaitMs: number;
  readonly longestWaitAfter: string;
}
