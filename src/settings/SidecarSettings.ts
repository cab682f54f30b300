import type { FromSchema } from 'json-schema-to-ts';
import type settingsSchema from '../gen/settingsSchema';

/** Settings of a sidecar, with all defaults filled in. */
type SidecarSettings = FromSchema<typeof settingsSchema.sidecar>;
export type { SidecarSettings as default };
