import type { CAC } from 'cac';
import nearestWord from './nearestWord';

/**
 * Checks a parsed command line against the options and arguments of the command it names, or the
 * global ones. Returns a description of the first mistake, if there is one.
 */
export default function findUsageError(cli: CAC): string | undefined {
  const command = cli.matchedCommand ?? cli.globalCommand;
  const known = new Set([...cli.globalCommand.options, ...command.options]);
  const names = [...known].flatMap((option) => option.names);
  const given = Object.keys(cli.options).filter((name) => name !== '--');
  const unknown = given.find((name) => !names.includes(name));
  if (unknown !== undefined) return describeUnknown(unknown, names);
  const repeated = given.find((name) => Array.isArray(cli.options[name]));
  if (repeated !== undefined) return `the option ${flag(repeated)} is given more than once`;
  const valueless = [...known].find(
    (option) => option.required && typeof cli.options[option.name] === 'boolean',
  );
  if (valueless) return `the option ${flag(valueless.name)} needs a value`;
  return findArgumentMistake(cli);
}

function findArgumentMistake(cli: CAC): string | undefined {
  const command = cli.matchedCommand ?? cli.globalCommand;
  const missing = command.args.find((arg, index) => arg.required && index >= cli.args.length);
  if (missing) return `the argument <${missing.value}> is missing`;
  if (command.args.some((arg) => arg.variadic)) return undefined;
  const extra = cli.args[command.args.length];
  return extra === undefined ? undefined : `the argument "${extra}" is not expected`;
}

function describeUnknown(name: string, names: readonly string[]): string {
  const near = nearestWord(name, names);
  const hint = near === undefined ? '' : `, did you mean ${flag(near)}?`;
  return `unknown option ${flag(name)}${hint}`;
}

function flag(name: string): string {
  const dashed = name.replace(/[A-Z]/g, (letter) => `-${letter.toLowerCase()}`);
  return dashed.length === 1 ? `-${dashed}` : `--${dashed}`;
}
