import type EntrySettings from './EntrySettings';
import type SidecarSettings from './SidecarSettings';

/** Settings of one process, told apart by `role`. */
type Settings = EntrySettings | SidecarSettings;
export type { Settings as default };
