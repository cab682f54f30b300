import type { AnySchemaObject, ErrorObject } from 'ajv';
import type Finding from '../core/Finding';
import nearestWord from '../core/nearestWord';
import type YamlSource from './YamlSource';

type Describe = (source: YamlSource, path: readonly string[], error: ErrorObject) => Finding;

const describers: Readonly<Record<string, Describe>> = {
  required: describeMissing,
  additionalProperties: describeUnknown,
  enum: describeEnum,
};

/** Converts the errors of a generated validator into findings with positions in the source. */
export default function schemaFindings(
  source: YamlSource,
  errors: readonly ErrorObject[] | null | undefined,
): readonly Finding[] {
  return (errors ?? []).map((error) => {
    const describe = describers[error.keyword] ?? describeValue;
    return describe(source, pathOf(error), error);
  });
}

function describeMissing(source: YamlSource, path: readonly string[], error: ErrorObject): Finding {
  const key = String(error.params.missingProperty);
  const expected = expectedOf(propertiesOf(error)[key]);
  return source.findingMissing(path, key, `found nothing, expected ${expected}`);
}

function describeUnknown(source: YamlSource, path: readonly string[], error: ErrorObject): Finding {
  const key = String(error.params.additionalProperty);
  const known = Object.keys(propertiesOf(error));
  const nearest = nearestWord(key, known);
  const hint =
    nearest === undefined ? `expected one of ${known.join(', ')}` : `expected "${nearest}"`;
  return source.findingAtKey([...path, key], `found an unknown key, ${hint}`);
}

function describeEnum(source: YamlSource, path: readonly string[], error: ErrorObject): Finding {
  const allowed: readonly unknown[] = error.params.allowedValues;
  const expected = `one of ${allowed.map(format).join(', ')}`;
  return source.findingAt(path, `found ${format(error.data)}, expected ${expected}`);
}

function describeValue(source: YamlSource, path: readonly string[], error: ErrorObject): Finding {
  const expected = expectedOf(error.parentSchema);
  return source.findingAt(path, `found ${format(error.data)}, expected ${expected}`);
}

function pathOf(error: ErrorObject): readonly string[] {
  const segments = error.instancePath.split('/').slice(1);
  return segments.map((segment) => segment.replaceAll('~1', '/').replaceAll('~0', '~'));
}

function propertiesOf(error: ErrorObject): Readonly<Record<string, AnySchemaObject>> {
  return error.parentSchema?.properties ?? {};
}

const TYPE_NAMES: Readonly<Record<string, string>> = {
  object: 'a mapping',
  array: 'a list',
  string: 'a text',
  integer: 'a whole number',
  number: 'a number',
  boolean: 'true or false',
};

function expectedOf(schema: AnySchemaObject | undefined): string {
  const what = schema?.title ?? TYPE_NAMES[schema?.type ?? ''] ?? 'a value';
  return `${what}${rangeOf(schema)}`;
}

function rangeOf(schema: AnySchemaObject | undefined): string {
  if (schema?.minimum === undefined) return '';
  if (schema.maximum === undefined) return ` of at least ${schema.minimum}`;
  return ` from ${schema.minimum} to ${schema.maximum}`;
}

const MAX_TEXT_LENGTH = 60;

function format(value: unknown): string {
  if (value === null) return 'nothing';
  if (Array.isArray(value)) return value.length === 0 ? 'an empty list' : 'a list';
  if (typeof value === 'object') return 'a mapping';
  if (typeof value !== 'string') return String(value);
  const text = JSON.stringify(value);
  return text.length > MAX_TEXT_LENGTH ? `${text.slice(0, MAX_TEXT_LENGTH)}…"` : text;
}
