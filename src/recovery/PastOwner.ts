/** An entry that owned a job in an earlier view. */
export default interface PastOwner {
  readonly incarnation: string;
  /** Its address while it is still a member. */
  readonly address: string | undefined;
  /** Wall-clock time from which it was no member any more; undefined while it is one. */
  readonly removedMs: number | undefined;
  /** Number of the first view without it; undefined while it is a member. */
  readonly removedIn: bigint | undefined;
  /** Whether it left in good order, so that nothing of it is in doubt. */
  readonly departed: boolean;
}
