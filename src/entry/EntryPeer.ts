import type Link from '../link/Link';

/** State of another entry as seen by this one. */
export default interface EntryPeer {
  readonly incarnation: string;
  /** The open link, if there is one. */
  link: Link | undefined;
  /** True while nothing has been received on its link for the suspicion time. */
  suspected: boolean;
  /** Monotonic time since which there has been no link, in milliseconds. */
  disconnectedAt: number;
}
