import type Link from '../link/Link';

/** Another entry as this one sees it. */
export default interface EntryPeer {
  readonly incarnation: string;
  /** The open link, if there is one. */
  link: Link | undefined;
  /** True while nothing is heard from it. */
  suspected: boolean;
  /** Monotonic time since which there is no link. */
  disconnectedAt: number;
}
