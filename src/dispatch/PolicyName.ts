import type EntrySettings from '../settings/EntrySettings';

/** A dispatch policy, by its name in the settings. */
type PolicyName = EntrySettings['dispatch']['policy'];

export type { PolicyName as default };
