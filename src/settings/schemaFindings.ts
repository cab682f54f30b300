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

/** Turns the errors of a generated validator into findings with their places in the source. */
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
  const near = nearestWord(key, known);
  const hint = near === undefined ? `expected one of ${known.join(', ')}` : `expected "${near}"`;
  return source.findingAtKey([...path, key], `found an unknown key, ${hint}`);
}

function describeEnum(source: YamlSource, path: readonly string[], error: ErrorObject): Finding {
  const allowed: readonly unknown[] = error.params.allowedValues;
  const expected = `one of ${allowed.map(show).join(', ')}`;
  return source.findingAt(path, `found ${show(error.data)}, expected ${expected}`);
}

function describeValue(source: YamlSource, path: readonly string[], error: ErrorObject): Finding {
  const expected = expectedOf(error.parentSchema);
  return source.findingAt(path, `found ${show(error.data)}, expected ${expected}`);
}

function pathOf(error: ErrorObject): readonly string[] {
  const segments = error.instancePath.split('/').slice(1);
  return segments.map((segment) => segment.replaceAll('~1', '/').replaceAll('~0', '~'));
}

function propertiesOf(error: ErrorObject): Readonly<Record<string, AnySchemaObject>> {
  return error.parentSchema?.properties ?? {};
}

const TYPE_WORDS: Readonly<Record<string, string>> = {
  object: 'a mapping',
  array: 'a list',
  string: 'a text',
  integer: 'a whole number',
  number: 'a number',
  boolean: 'true or false',
};

function expectedOf(schema: AnySchemaObject | undefined): string {
  const what = schema?.title ?? TYPE_WORDS[schema?.type ?? ''] ?? 'a value';
  return `${what}${rangeOf(schema)}`;
}

function rangeOf(schema: AnySchemaObject | undefined): string {
  if (schema?.minimum === undefined) return '';
  if (schema.maximum === undefined) return ` of at least ${schema.minimum}`;
  return ` from ${schema.minimum} to ${schema.maximum}`;
}

const SHOWN_LENGTH = 60;

function show(value: unknown): string {
  if (value === null) return 'nothing';
  if (Array.isArray(value)) return value.length === 0 ? 'an empty list' : 'a list';
  if (typeof value === 'object') return 'a mapping';
  if (typeof value !== 'string') return String(value);
  const text = JSON.stringify(value);
  return text.length > SHOWN_LENGTH ? `${text.slice(0, SHOWN_LENGTH)}…"` : text;
}
