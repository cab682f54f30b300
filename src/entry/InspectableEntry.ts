import type EntryMessageContext from './EntryMessageContext';
import type JobTable from './JobTable';
import type SidecarLinks from './SidecarLinks';

/** The parts of an entry that are shown to operators. */
export default interface InspectableEntry extends Pick<
  EntryMessageContext,
  'views' | 'configurations' | 'dispatcher'
> {
  readonly jobs: JobTable;
  readonly sidecarLinks: SidecarLinks;
}
