import type ServiceConfig from '../settings/ServiceConfig';
import parseJson from './parseJson';
import type RequestFindings from './RequestFindings';

/** Parses a job's body, `{"tasks": [{"input": ...}, ...]}`, into the inputs of its tasks as JSON text. */
export default function parseTasks(
  body: Buffer,
  service: ServiceConfig,
  findings: RequestFindings,
): Uint8Array[] {
  const parsed = parseJson(body);
  if (parsed.isErr()) {
    findings.add('body', parsed.error);
    return [];
  }
  if (!isObject(parsed.value)) {
    findings.add('body', `found ${describeType(parsed.value)}, expected an object with "tasks"`);
    return [];
  }
  const { tasks, ...others } = parsed.value;
  Object.keys(others).forEach((key) => {
    findings.add(key.slice(0, MAX_KEY_CHARS), 'found an unknown key, expected "tasks" alone');
  });
  if (!Array.isArray(tasks)) {
    findings.add('tasks', `found ${describeType(tasks)}, expected a list`);
    return [];
  }
  if (tasks.length === 0 || tasks.length > service.maxTasks) {
    findings.add('tasks', `found ${tasks.length}, expected 1 to ${service.maxTasks}`);
    return [];
  }
  return tasks.map((task, index) => parseTask(task, `tasks[${index}]`, service, findings));
}

function parseTask(
  task: unknown,
  path: string,
  { maxTaskBytes }: ServiceConfig,
  findings: RequestFindings,
): Uint8Array {
  if (!isObject(task)) {
    findings.add(path, `found ${describeType(task)}, expected an object with "input"`);
    return NO_INPUT;
  }
  if (task.input === undefined) {
    findings.add(`${path}.input`, 'found nothing, expected any JSON value');
    return NO_INPUT;
  }
  const input = toJsonText(task.input);
  if (!input) findings.add(`${path}.input`, 'it is nested too deeply');
  else if (input.length > maxTaskBytes) {
    const reason = `found ${input.length} bytes, expected at most ${maxTaskBytes}`;
    findings.add(`${path}.input`, reason);
  }
  return input ?? NO_INPUT;
}

/** The value as JSON text; undefined if it is nested too deeply to serialize. */
function toJsonText(value: unknown): Uint8Array | undefined {
  try {
    return Buffer.from(JSON.stringify(value));
  } catch {
    return undefined;
  }
}

const NO_INPUT = new Uint8Array();
const MAX_KEY_CHARS = 64;

function isObject(value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

function describeType(value: unknown): string {
  if (value === undefined) return 'nothing';
  if (value === null) return 'null';
  if (Array.isArray(value)) return 'a list';
  return typeof value === 'object' ? 'an object' : `a ${typeof value}`;
}
