import { err, ok, type Result } from 'neverthrow';
import type ServiceConfig from '../settings/ServiceConfig';
import type RequestError from './RequestError';

/** Reads a job's body, `{"tasks": [{"input": ...}, ...]}`, into the tasks' inputs as JSON text. */
export default function parseTasks(
  body: Buffer,
  service: ServiceConfig,
): Result<Uint8Array[], RequestError> {
  const parsed = parseJson(body);
  if (parsed.isErr()) return err(parsed.error);
  const tasks = isObject(parsed.value) ? parsed.value.tasks : undefined;
  if (!Array.isArray(tasks)) return bad('body', 'expected an object with an array "tasks"');
  if (tasks.length === 0) return bad('tasks', 'found none, expected at least one');
  if (tasks.length > service.maxTasks) {
    return bad('tasks', `found ${tasks.length}, expected at most ${service.maxTasks}`);
  }
  const wrong = tasks.findIndex((task) => !isObject(task) || task.input === undefined);
  if (wrong >= 0) return bad(`tasks[${wrong}]`, 'expected an object with an "input"');
  const inputs = tasks.map((task) => Buffer.from(JSON.stringify(task.input)));
  const large = inputs.findIndex((input) => input.length > service.maxTaskBytes);
  if (large < 0) return ok(inputs);
  const found = inputs[large]!.length;
  return bad(
    `tasks[${large}].input`,
    `found ${found} bytes, expected at most ${service.maxTaskBytes}`,
  );
}

function parseJson(body: Buffer): Result<unknown, RequestError> {
  try {
    return ok(JSON.parse(body.toString('utf8')));
  } catch (error) {
    return bad('body', `not well-formed JSON: ${(error as Error).message}`);
  }
}

function isObject(value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

function bad(place: string, reason: string): Result<never, RequestError> {
  return err({ status: 400, reason: `${place}: ${reason}` });
}
