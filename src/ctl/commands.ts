import type Command from './Command';
import validate from './validate';

/** The commands of the command-line tool by their names, in the order of the help. */
const commands: Readonly<Record<string, Command>> = {
  validate,
};

export default commands;
