import type EntrySettings from './EntrySettings';
import type SidecarSettings from './SidecarSettings';

/** Settings of one process, as a union discriminated by `role`. */
type Settings = EntrySettings | SidecarSettings;
export type { Settings as default };
