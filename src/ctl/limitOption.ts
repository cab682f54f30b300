import type CommandOption from './CommandOption';

/** How long a command with --wait waits. */
const limitOption: CommandOption = {
  flags: '--limit <seconds>',
  description: 'Longest time that --wait takes',
  default: 30,
};

export default limitOption;
