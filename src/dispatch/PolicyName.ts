import type EntrySettings from '../settings/EntrySettings';

/** Name of a dispatch policy in the settings. */
type PolicyName = EntrySettings['dispatch']['policy'];

export type { PolicyName as default };
