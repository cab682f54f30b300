import type EntryParts from './EntryParts';
import type Jobs from './Jobs';
import type SidecarLinks from './SidecarLinks';

/** The parts of an entry that operators see. */
export default interface InspectedEntry extends Pick<
  EntryParts,
  'views' | 'configurations' | 'dispatcher'
> {
  readonly jobs: Jobs;
  readonly sidecarLinks: SidecarLinks;
}
