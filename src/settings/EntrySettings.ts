import type { FromSchema } from 'json-schema-to-ts';
import type settingsSchema from '../gen/settingsSchema';

/** Settings of an entry, with all defaults filled in. */
type EntrySettings = FromSchema<typeof settingsSchema.entry> & { advertise: string };
export type { EntrySettings as default };
