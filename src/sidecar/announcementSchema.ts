/** JSON Schema of a backend server's announcement to its sidecar. */
const announcementSchema = {
  type: 'object',
  additionalProperties: false,
  required: ['service', 'address', 'slots', 'connections'],
  properties: {
    service: { type: 'string', pattern: '^[a-z][a-z0-9-]{0,62}$' },
    address: { type: 'string', maxLength: 64 },
    slots: { type: 'integer', minimum: 1, maximum: 10000 },
    connections: { type: 'integer', minimum: 1, maximum: 100000 },
  },
} as const;

export default announcementSchema;
