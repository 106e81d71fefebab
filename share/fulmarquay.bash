# Bash completion for the fulmarquay command-line client. Source this file.
_fulmarquay() {
  local word=${COMP_WORDS[COMP_CWORD]}
  if [[ $word == -* ]]; then
    COMPREPLY=($(compgen -W "--control --base --id --operator --out --timeout --json --help --version" -- "$word"))
  elif [ "$COMP_CWORD" = 1 ]; then
    COMPREPLY=($(compgen -W "questionnaire check hash-key submit status dump reference" -- "$word"))
  elif [ "${COMP_WORDS[1]}" = reference ]; then
    COMPREPLY=($(compgen -W "settings log-events" -- "$word"))
  else
    COMPREPLY=($(compgen -f -- "$word"))
  fi
}
complete -F _fulmarquay fulmarquay
